package main

type baddayCmd struct{}

func (baddayCmd) Run() error { return nil }

type benchCmd struct{}

func (benchCmd) Run() error { return nil }
