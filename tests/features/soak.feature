Feature: Promises while faults overlap
  Real entries as processes, faults from outside; tests/soak plays any seed.

  Scenario Outline: A short soak keeps every promise
    Then a soak with seed <seed> of <seconds> seconds keeps every promise

    Examples: One seed, and each that has failed
      | seed | seconds |
      | 2    | 6       |
      | 12   | 10      |
