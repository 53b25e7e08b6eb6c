"""Stand-ins of the users' platform for jobs: its store, its minions and its cloud.

They speak the published protocol as far as the project's tests and its soak need it,
and write down what they saw: `ledger.py` holds the checks that look from outside.
"""
