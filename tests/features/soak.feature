Feature: Promises while faults overlap
  Real entries as processes, faults from outside; tests/soak plays any seed.

  Scenario: A short soak keeps every promise
    Then a soak with seed 2 of 6 seconds keeps every promise
