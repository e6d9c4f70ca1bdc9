"""The running gateway: sockets, timers and clock. All decisions are made by `tamarindfold.choice`."""
