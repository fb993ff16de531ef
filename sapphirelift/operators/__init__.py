"""Edge to operators: command line and admin port."""
