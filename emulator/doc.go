// Package emulator emulates the services of the platform in process for tests and
// demonstrations: the key-value service, the workers and the service that lists
// instances. Each emulator can inject the faults that the real service shows, and
// has the methods of the client of the real service.
//
// There are two independent sets of emulators, because the program has two sets of
// clients:
//   - Store, Fleet with its Workers, and Platform have the methods of the clients
//     in the packages keeper, dispatcher and lister. Their Handler methods serve
//     the HTTP interfaces that these clients call.
//   - MetaStore, TaskFleet and InstanceService emulate what package platform
//     connects an entry node to: the metadata store, workers that run tasks under
//     leases, and the service that moves and maintains instances. Package platform
//     has the HTTP handlers for them.
package emulator
