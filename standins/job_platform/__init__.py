"""Stand-ins for the store, the minions and the cloud of the users' job platform.

They implement the part of the published protocol that the tests and the soak runs use.
`ledger.py` records starts, ends and cloud orders, and checks the invariants from
outside of courselead.
"""
