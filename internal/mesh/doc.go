// Package mesh carries messages between the fleet's processes: msgpack frames
// over TCP, with many streams multiplexed on a connection and flow control for each
// stream.
//
// A process opens streams on connections that it dialed and serves streams on
// connections that it accepted. Both ends prove that they know the fleet's
// secret before the first stream. A stream carries messages both ways and ends
// explicitly: with success, with a typed error, or with the loss of its
// connection, which the reader can distinguish from success.
//
// The package guarantees that messages of one stream arrive in order, at most
// once and on no other stream, and that a slow reader blocks only the sender of
// its own stream: a sender stops once a window of its bytes is unread, which it
// may exceed by one message.
package mesh
