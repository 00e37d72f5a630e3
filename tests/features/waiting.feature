@platform
Feature: Requests that wait for capacity
  In a pool with priority classes a request waits while no engine can take it.

  Background:
    Given the routes to the engines have different priorities
    And 2 of the engines name a limit of 0.5 request per second

  Scenario: A request that no engine can take now waits and is then served
    When 6 prompts are sent one after the other
    Then each prompt got a whole response
    And a prompt waited and was then placed

  Scenario: A request whose caller leaves while it waits is not sent
    When 4 prompts are sent one after the other
    And a caller disconnects from a further prompt after 0.4 seconds
    Then no engine receives more than 4 prompts within 3 seconds
    And the wait of the prompt ended when its caller left
