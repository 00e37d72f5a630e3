"""A soak: real entries before stand-ins, with faults from outside."""
