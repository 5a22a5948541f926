"""The node on a target's host: entry, keeper, links to peers and control."""
