package messenger

//go:generate ./generate.sh
