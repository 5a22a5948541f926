"""HTTP, node links and datagrams on Twisted."""
