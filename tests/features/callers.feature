@fleet
Feature: Callers over HTTP

  Scenario: Invalid requests get a result code and leave nothing allocated
    Then every request in case file "requests" gets its result code
    And no entry process holds a request

  Scenario: A truncated request leaves nothing allocated
    When a caller sends an incomplete body and disconnects
    Then no entry process holds a request

  Scenario: Completions and chats return the expected text
    Then a completion that is not streamed has the expected text and token counts
    And a streamed chat completion has the expected text

  Scenario: A caller that stops reading frees its engine and receives its whole response
    When a caller requests a long response and stops reading
    Then the memory of the engine is released while the caller does not read
    And the caller resumes reading and receives every token

  Scenario: A prompt larger than one engine's memory is run by a group of engines
    When a prompt of 1000000 tokens is sent on route "summary"
    Then every response has the expected text

  Scenario: A prompt larger than one engine's memory is refused if the route requires it
    When a prompt of 1000000 tokens is sent on route "question"
    Then the prompt is refused with PROMPT_TOO_LONG

  Scenario: The command line shows the state of the fleet
    Then "status" shows every zone in service
    And "explain" shows why a service accepts no prompt
    And "ask" prints the response
    And "trace" shows the spans of a request
