"""The node beside a target: entry, keeper, links to peers, control."""
