package main

type benchCmd struct{}

func (benchCmd) Run() error { return nil }
