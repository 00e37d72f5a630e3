@platform
Feature: Documents of the platform that entry processes pass on to each other

  Scenario: A large configuration does not delay later changes on narrow links
    Given 5 entry processes, each with 1250 KB per second from the store and 250 KB per second to the others
    When the configuration grows by 1600 routes
    And 5 versions with one more route each are published every 0.25 seconds
    And zone "nadi" is withdrawn
    Then each entry process serves the newest route within 3 seconds
    And each entry process leaves zone "nadi" alone within 5 seconds

  Scenario: An unknown path or key is not refused for good by an outdated configuration
    Given an entry process with bounds.configApplyMs of 1000
    When the store is unavailable
    Then an unknown path and an unknown API key get 503 after 1 second

  Scenario: A withdrawn zone gets no requests because another VM has the same version
    Given an entry process and another VM that only confirms the version
    When the store is unavailable
    And the zone is withdrawn
    Then a request with an API key gets 503 within bounds.revokeMs
    And a request gets 503 and no service receives it

  Scenario: A zone whose entry processes all lose the store follows those of another
    Given entry processes in the zones "ba, ba, nadi"
    When the store is silent towards zone "ba"
    Then each entry process accepts a new API key within 3 seconds
