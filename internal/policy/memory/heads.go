package memory

const (
	// headByteCopies is how often the bytes of a head are held: as they arrived, and decoded.
	headByteCopies = 2
	// fieldBytes is what each decoded field takes in a map, beside its bytes.
	fieldBytes = 256
	// freeHeadFields are the fields of a head that a connection's own memory holds.
	freeHeadFields = 64
	// freeHeadBytes are its bytes.
	freeHeadBytes = 4 << 10
	// headsShare is the part of the memory limit for the heads of unfinished requests.
	headsShare = 0.08
	// defaultHeadsBytes is for processes without a memory limit.
	defaultHeadsBytes = 64 << 20
)

// HeadBytes returns the bytes that a request holds for its head of the given size, beyond those that
// each connection has. It answers heads of thousands of short fields, which take far more once they
// are decoded than on the wire.
func HeadBytes(bytes, lines int) int64 {
	held := headByteCopies*max(0, bytes-freeHeadBytes) + fieldBytes*max(0, lines-freeHeadFields)
	return int64(held)
}

// HeadsLimit returns the bytes that the heads of unfinished requests may hold together in a process
// with a memory limit, 0 for none.
func HeadsLimit(limit int64) int64 {
	if limit <= 0 {
		return defaultHeadsBytes
	}
	return int64(headsShare * float64(limit))
}
