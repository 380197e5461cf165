"""The daemon of one endpoint VM: tasks that own sockets and drive `core`."""
