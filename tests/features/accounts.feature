Feature: Account limits without shared state

  Scenario: A single entry process can spend nearly all of an account's rate
    Then a single entry process spends at least 0.8 of the rate over 60 seconds
    And the entry process spends no more than the rate plus the burst

  Scenario: Isolated entry processes together keep to the limit
    Then isolated entry processes together spend at most the rate plus the burst over 60 seconds

  Scenario: Two entry processes with different VM lists do not double the rate
    Then entry processes with two VM list versions spend at most the rate plus the burst over 60 seconds

  Scenario: No sequence of network partitions and VM lists exceeds the limit
    Then for any actions all entry processes together keep to the rate
