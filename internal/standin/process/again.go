package process

// Again starts the program anew with the same arguments.
func (p *Process) Again() (*Process, error) {
	return Start(p.cmd.Path, p.cmd.Args[1:]...)
}
