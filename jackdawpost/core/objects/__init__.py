"""Named objects: their forms, checks and change sets."""
