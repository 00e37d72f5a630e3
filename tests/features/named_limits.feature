@platform
Feature: Engines that name the rate that they take

  Scenario: Engines that name a limit get no more from all VMs together until it ends
    Given 4 additional engines
    And 5 of the engines name a limit of 1 request per second
    When two more entry processes start
    And prompts arrive at all VMs for 7 seconds, 25 each second, and a VM starts meanwhile
    Then every prompt was answered
    And from 1 second after the first answer, no limited engine got over 11 prompts in 4 seconds
    And the limited engines were not left out
    When the engines no longer name a limit
    And prompts arrive at all VMs for 4 seconds, 25 each second
    Then some engine that named a limit got over 11 prompts in 4 seconds
