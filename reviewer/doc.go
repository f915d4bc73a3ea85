// Package reviewer finds what is wrong with a valid rules file before it is sent:
// rules that can never match, limits that contradict each other and what the file
// would change in the rules in force. It is pure: the caller reads the file, the
// rules in force and the instances.
package reviewer
