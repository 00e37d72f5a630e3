Feature: The owner's queue of an engine

  Scenario: A waiting request is refused when the engine is withdrawn
    Given an owner that has granted the whole capacity of an engine
    When a request waits in the owner's queue
    And the engine is withdrawn
    Then the waiting request and a new one are refused with ENDPOINT_WITHDRAWN

  Scenario: A small request overtakes a request that does not fit
    Given an owner that has granted the whole capacity of an engine
    When a request of 900 tokens waits and then a request of 100 tokens
    And a grant of 200 tokens is released
    Then only the request of 100 tokens is granted

  Scenario: A request close to its deadline is not overtaken
    Given an owner that has granted the whole capacity of an engine
    When a request of 900 tokens waits and then a request of 100 tokens
    And the deadline of the first request is near
    And a grant of 200 tokens is released
    Then neither request is granted
