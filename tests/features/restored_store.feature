@platform @vm_faults
Feature: A store that was restored from an older copy

  Scenario: A change after a restore is in force everywhere
    When two more entry processes start
    And the store is copied
    And the configuration is published 30 times
    And the store comes back from the copy
    And the operator writes the configuration again
    Then each entry process accepts a new API key within 2 seconds

  Scenario: A change is noticed if the revisions have already passed the known ones
    When the store is copied
    And the configuration is published 30 times
    And the store comes back from the copy, with another API key and 60 more records
    Then a request with the new API key is served within 2 seconds

  Scenario: A change is noticed after two restores within a second
    When the store is copied
    And the configuration is published 30 times
    And the store comes back from the copy
    And 0.5 seconds pass
    And the store comes back from the copy, with another API key and 60 more records
    Then a request with the new API key is served within 2 seconds

  Scenario: A zone without the store hears of a change after a restore
    Given entry processes in the zones "ba, ba, nadi"
    When the store is copied
    And the configuration is published 30 times
    And 1 seconds pass
    And the store is silent towards zone "nadi"
    And the store comes back from the copy
    And the operator writes the configuration again
    Then each entry process accepts a new API key within 3 seconds

  Scenario: An entry process that sleeps through a restore follows
    When the store is copied
    And the configuration is published 30 times
    And the store comes back from the copy while the entry process sleeps for 2 seconds
    And the operator writes the configuration again
    Then each entry process accepts a new API key within 2 seconds

  Scenario: An entry process that starts with the older copy follows
    When the store is copied
    And the configuration is published 30 times
    And the store comes back from the copy
    And a second entry process starts
    And the operator writes the configuration again
    Then each entry process accepts a new API key within 2 seconds

  Scenario: A service that drains after a restore gets no requests
    When two more entry processes start
    And the store is copied
    And the services write their records 30 times
    And the store comes back from the copy
    And the operator writes the configuration again
    And one service is marked as draining
    Then after 1 seconds no running entry process sends requests to the draining service

  Scenario: A service whose drain the store has lost gets no requests
    When the store is copied
    And one service is marked as draining
    And the store comes back from the copy
    And the operator writes the configuration again
    And 1 seconds pass
    Then the draining service gets none of 10 requests to "/look/x"

  Scenario: A drained service that is listed again gets no requests
    When the store is copied
    And one service is marked as draining
    And the record of the draining service is removed
    And the store comes back from the copy
    And the operator writes the configuration again
    And 1 seconds pass
    Then the draining service gets none of 10 requests to "/look/x"

  Scenario: Records that a restore has lost are kept for a limited time
    Given the store is copied without the services
    When the store comes back from the copy
    And the operator writes the configuration again
    And 2 seconds pass
    Then 10 requests to "/look/x" are served
    And no service is known 5 seconds later

  Scenario: A withdrawn zone that a restore has lost stays withdrawn for a limited time
    When the store is copied
    And the zone is withdrawn
    And the store comes back from the copy
    And 1 seconds pass
    Then a request gets 503 and no service receives it
    And a request is served within 5 seconds

  Scenario: A withdrawal that has ended does not empty the last zone again
    When the zone is withdrawn
    And the store is copied
    Then requests are served within 1 second of the zone returning to service
    When the store comes back from the copy
    And the operator writes the configuration again
    And 1 seconds pass
    Then 10 requests to "/look/x" are served

  Scenario: A removed API key is not accepted again
    When the store is copied
    And the API key is replaced
    Then a request with the old API key gets 401 within 1.8 seconds
    When the store comes back from the copy
    Then the old API key is refused for 4 seconds

  Scenario: Keys that may have been removed are not trusted until the operator writes again
    When the store is copied
    And the store comes back from the copy, and the operator writes nothing
    Then keys are not confirmed for 2 seconds and accepted within 5 seconds

  Scenario: A restore costs few calls
    When two more entry processes start
    And the store is copied
    And the configuration is published 30 times
    And the store comes back from the copy
    Then the store receives at most 24 requests in 3 seconds

  Scenario: An invalid header is treated as missing
    When the store sends "x1" as its era
    Then each entry process accepts a new API key within 1 second
    And the invalid header is logged once

  Scenario: Responses from before a restore confirm nothing
    When the store is copied
    And the store comes back from the copy
    And the operator writes the configuration again
    And 0.5 seconds pass
    And the store sends "1" as its era
    Then a request with an API key gets 503 within bounds.revokeMs
