package answer

import "encoding/json"

// Asked is what a caller's chat request asks for in the form of its answer.
type Asked struct {
	// Stream is set if the caller wants a streamed answer.
	Stream bool
	// Usage is set if the caller wants the usage chunk in its stream.
	Usage bool
}

// StreamingBody returns the chat request body with a streamed answer and the
// usage chunk asked for, as every request to an engine has it, and what the
// caller itself asked for. The error is of type ErrBadRequest.
func StreamingBody(body []byte) ([]byte, Asked, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, Asked{}, ErrBadRequest.Wrap(err, "chat request")
	}
	if fields == nil {
		return nil, Asked{}, ErrBadRequest.New("chat request is null")
	}
	asked, options, err := readAsked(fields)
	if err != nil {
		return nil, Asked{}, err
	}
	options["include_usage"] = json.RawMessage("true")
	fields["stream"] = json.RawMessage("true")
	if fields["stream_options"], err = json.Marshal(options); err != nil {
		return nil, Asked{}, ErrBadRequest.Wrap(err, "stream_options")
	}
	out, err := json.Marshal(fields)
	if err != nil {
		return nil, Asked{}, ErrBadRequest.Wrap(err, "chat request")
	}
	return out, asked, nil
}

func readAsked(fields map[string]json.RawMessage) (Asked, map[string]json.RawMessage, error) {
	var asked Asked
	options := make(map[string]json.RawMessage)
	for _, field := range []struct {
		name string
		raw  json.RawMessage
		into any
	}{
		{"stream", fields["stream"], &asked.Stream},
		{"stream_options", fields["stream_options"], &options},
	} {
		if field.raw == nil {
			continue
		}
		if err := json.Unmarshal(field.raw, field.into); err != nil {
			return Asked{}, nil, ErrBadRequest.Wrap(err, "%s", field.name)
		}
	}
	if options == nil {
		options = make(map[string]json.RawMessage)
	}
	if raw, ok := options["include_usage"]; ok {
		if err := json.Unmarshal(raw, &asked.Usage); err != nil {
			return Asked{}, nil, ErrBadRequest.Wrap(err, "include_usage")
		}
	}
	return asked, options, nil
}
