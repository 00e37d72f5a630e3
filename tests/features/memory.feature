Feature: Engine memory
  No engine leaks memory, and no engine is granted more memory than it has.

  Scenario: Shares, leases, claims and crashes never overcommit an engine
    When the state machine "ledger" runs 600 times with 50 steps
    Then every step kept the invariants
