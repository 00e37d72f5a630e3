@platform @engine_faults
Feature: Endpoints that say that they shut down or want no request for a time

  Scenario Outline: An endpoint that says that it shuts down gets no new requests
    Given 2 additional engines
    And two more entry processes that know all engines
    When "<endpoint>" says in its answers that it shuts down
    And <while>
    And up to 20 bursts of requests to "<target>" arrive until "<endpoint>" has answered
    Then "<endpoint>" gets nothing of 10 further bursts of requests to "<target>"
    And every request was answered

    Examples:
      | endpoint | target  | while                                   |
      | e0       | /ask/x  | nothing else happens                    |
      | s0       | /look/x | nothing else happens                    |
      | s0       | /open/x | the store is silent                     |
      | e0       | /ask/x  | it turns requests away                  |
      | e0       | /ask/x  | its entry is renewed as ready           |
      | e0       | /ask/x  | its next answer belongs to another request |

  Scenario: An endpoint that shuts down is used again after its restart only
    Given the store lists no engine but "e0"
    When "e0" says in its answers that it shuts down
    And 1 request to "/ask/x" arrives
    Then a request to "/ask/x" gets 503 at once
    When the settings are reloaded and the configuration changes
    Then a request to "/ask/x" gets 503 at once
    When "e0" starts again under the same id
    Then a request to "/ask/x" is answered within 2 seconds
    And "e0" has got 2 requests

  Scenario: A prompt that several engines hold avoids one that shuts down
    Given 3 additional engines
    When "e0" says in its answers that it shuts down
    And a prompt of 600000 tokens is answered on engines with "e0"
    Then 5 prompts of 600000 tokens are answered without "e0"

  Scenario: A rejection by another endpoint at the same address closes none
    Given the store lists no engine but "e0"
    When "e0" is another endpoint that says that it shuts down
    And 1 request to "/ask/x" arrives
    And "e0" is itself again
    Then a request to "/ask/x" is answered within 1 seconds

  Scenario Outline: An endpoint that asks for time gets no requests meanwhile
    Given 2 additional engines
    When "<endpoint>" turns requests away with Retry-After "<text>"
    And up to 30 bursts of requests to "<target>" arrive until "<endpoint>" has answered
    Then "<endpoint>" gets no request for <seconds> seconds while requests arrive
    And "<endpoint>" gets a request within 2 seconds of many more

    Examples:
      | endpoint | target  | text | seconds |
      | e0       | /ask/x  | 2    | 1.9     |
      | s0       | /look/x | 1.5  | 1.4     |
      | e0       | /ask/x  | -5   | 0       |
      | e0       | /ask/x  | soon | 0.9     |
      | e0       | /ask/x  | nan  | 0.9     |

  Scenario: Callers are told when endpoints that asked for time take requests
    When all engines turn requests away with Retry-After "2"
    And up to 5 bursts of requests to "/ask/x" arrive until all engines have answered
    Then 20 requests to "/ask/x" get 503 at once and Retry-After times from 1 to 4 seconds that differ
    And no engine got one of them
