@platform
Feature: Requests that are sent to a second endpoint because the first is slow

  Scenario Outline: The second endpoint's answer is given to the caller
    Given a second entry process with the options "--hedge-share 0.15 --hedge-account-share 0.15"
    And 80 requests to "<target>" were answered by it
    When the next endpoint that a request to "<target>" reaches does not respond
    Then the caller gets a complete answer within 1 second
    And the endpoint that did not respond sees its connection closed by then
    And two endpoints got the request
    And the second entry process logs the hedge as "won"

    Examples:
      | target  |
      | /look/x |
      | /ask/x  |

  Scenario Outline: Requests that must not be hedged reach one endpoint
    Given a second entry process with the options "<options>"
    And 80 requests to "<target>" were answered by it
    When a request to "<target>" reaches endpoints that respond after 1 second
    Then the caller gets a complete answer within 3 seconds
    And one endpoint got the request
    And the second entry process logs no hedge

    Examples:
      | options                                        | target  |
      | --hedge-share 0 --hedge-account-share 0        | /look/x |
      | --metrics-port 0                               | /ask/x  |
      | --hedge-share 0.15 --hedge-account-share 0.15  | /once/x |
      | --hedge-share 0.15 --hedge-account-share 0.15  | /tell/x |

  Scenario Outline: Invalid shares are refused at the start
    Then the program refuses the options "<options>" and says "<text>"

    Examples:
      | options                                      | text                   |
      | --hedge-share -0.1 --hedge-account-share 0.1 | for the fleet          |
      | --hedge-share 0.2 --hedge-account-share 0.1  | from 0 to 0.15         |
      | --hedge-share nan --hedge-account-share 0.1  | not nan                |
      | --hedge-share 0.1 --hedge-account-share 1.5  | for the account        |
      | --hedge-share 0.1                            | both 0 or both above 0 |
      | --hedge-share much                           | is not a valid float   |
