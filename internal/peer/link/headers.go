package link

import "encoding/binary"

// The header of a frame of yamux: version, type, flags, stream and length, with the highest byte
// first. Only data frames have bytes after it.
const (
	muxHeaderSize = 12
	muxTypeData   = 0
	muxTypeWindow = 1

	muxFlagOpen   = 1
	muxFlagAccept = 2
	muxFlagClose  = 4
	muxFlagReset  = 8
)

// headerScanner finds the headers of yamux's frames in what is received on a connection.
type headerScanner struct {
	header  [muxHeaderSize]byte
	have    int    // Bytes of header.
	payload uint32 // Bytes of the frame that are yet to come.

	data func(id, size uint32) // Called with the size of each frame of data, unless nil.
}

// scan calls note with the flags of each frame of a stream whose header ends in p.
func (s *headerScanner) scan(p []byte, note func(id uint32, flags uint16)) {
	for len(p) > 0 {
		if s.payload > 0 {
			n := min(uint32(len(p)), s.payload)
			s.payload -= n
			p = p[n:]
			continue
		}
		n := copy(s.header[s.have:], p)
		s.have += n
		p = p[n:]
		if s.have < muxHeaderSize {
			continue
		}
		s.have = 0
		kind := s.header[1]
		if kind == muxTypeData {
			s.payload = binary.BigEndian.Uint32(s.header[8:])
		}
		if flags := binary.BigEndian.Uint16(s.header[2:]); kind <= muxTypeWindow && flags != 0 {
			note(binary.BigEndian.Uint32(s.header[4:]), flags)
		}
		if s.payload > 0 && s.data != nil {
			s.data(binary.BigEndian.Uint32(s.header[4:]), s.payload)
		}
	}
}
