Feature: Guarantees under overlapping faults
  Each soak test runs real entry processes and injects faults. The command
  `python -m tests.soak` runs any seed.

  Scenario Outline: A short soak test violates no guarantee
    Then a soak test of <seconds> seconds with seed <seed> violates no guarantee

    Examples: A default seed and each seed that has failed
      | seed | seconds |
      | 2    | 6       |
      | 12   | 10      |
