"""The `tamarindfold` command line."""
