package consensus

import (
	"encoding/binary"
	"hash/crc32"
)

// A frame is a record on disk: a header with the magic number, the length of the
// payload, the frame's sequence number in its file, the payload's checksum and the
// header's own checksum, then the payload. Both checksums are seeded with the store
// ID, so that frames of another data directory don't match.
const (
	frameMagic  = 0x77666c31
	frameHeader = 28 // bytes
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func checksum(store StoreID, data []byte) uint32 {
	var seed [8]byte
	binary.BigEndian.PutUint64(seed[:], uint64(store))
	return crc32.Update(crc32.Checksum(seed[:], castagnoli), castagnoli, data)
}

// appendFrame appends the frame of a payload to b.
func appendFrame(b []byte, store StoreID, seq uint64, payload []byte) []byte {
	start := len(b)
	b = binary.BigEndian.AppendUint32(b, frameMagic)
	b = binary.BigEndian.AppendUint64(b, uint64(len(payload)))
	b = binary.BigEndian.AppendUint64(b, seq)
	b = binary.BigEndian.AppendUint32(b, checksum(store, payload))
	b = binary.BigEndian.AppendUint32(b, checksum(store, b[start:]))
	return append(b, payload...)
}

// parseHeader returns the payload length and sequence number of the frame at the
// start of b.
func parseHeader(b []byte, store StoreID) (length, seq uint64, ok bool) {
	if len(b) < frameHeader || binary.BigEndian.Uint32(b) != frameMagic {
		return 0, 0, false
	}
	if checksum(store, b[:frameHeader-4]) != binary.BigEndian.Uint32(b[frameHeader-4:]) {
		return 0, 0, false
	}
	return binary.BigEndian.Uint64(b[4:]), binary.BigEndian.Uint64(b[12:]), true
}

// parseFrame returns the payload of the frame at the start of b, and false if the
// frame is incomplete or damaged or doesn't have the sequence number seq.
func parseFrame(b []byte, store StoreID, seq uint64) (payload []byte, ok bool) {
	length, found, ok := parseHeader(b, store)
	if !ok || found != seq || length > uint64(len(b)-frameHeader) {
		return nil, false
	}
	payload = b[frameHeader : frameHeader+length]
	return payload, checksum(store, payload) == binary.BigEndian.Uint32(b[20:])
}

// readFrames returns the payloads of a file and the size of its valid prefix. Each
// frame is written and synced separately, so a crash can damage only the last one:
// a damaged frame that is followed by synced data is corruption.
func readFrames(name string, b []byte, store StoreID) (payloads [][]byte, validSize int64, err error) {
	offset := 0
	for offset < len(b) {
		seq := uint64(len(payloads))
		payload, ok := parseFrame(b[offset:], store, seq)
		if !ok {
			if reason := corruptionReason(b[offset:], store, seq); reason != "" {
				return nil, 0, &CorruptError{File: name, Offset: int64(offset), Reason: reason}
			}
			break
		}
		payloads = append(payloads, payload)
		offset += frameHeader + len(payload)
	}
	return payloads, int64(offset), nil
}

// corruptionReason returns why the invalid frame at the start of b can't be a torn
// last write, or "" if it can be.
func corruptionReason(b []byte, store StoreID, seq uint64) string {
	length, _, ok := parseHeader(b, store)
	if ok && length < uint64(len(b)-frameHeader) {
		return "a record's checksum doesn't match, and more data follows"
	}
	for i := 1; i+frameHeader <= len(b); i++ {
		if _, found, ok := parseHeader(b[i:], store); ok && found > seq {
			return "a record is damaged, and a later one follows"
		}
	}
	return ""
}
