Feature: Check of a configuration before it is published

  Scenario: A sound configuration has nothing to report
    When a sound configuration is checked
    Then the check exits with 0
    And the check reports nothing

  Scenario Outline: Errors are named with their place
    When a configuration with <fault> is checked
    Then the check exits with 2
    And the check reports an error at "<place>" with "<text>"

    Examples:
      | fault                       | place              | text                   |
      | a route without a host      | routes[1]          | 'host' is missing      |
      | an unknown kind of route    | routes[2]          | is not a valid         |
      | an engine without memory    | services[1]        | 'kvCapacity' is missing |
      | a limit that is a text      | limits             | maxBodyBytes           |
      | a version that is a text    | version            | invalid literal        |
      | keys that are a text        | tenants[0].apiKeys | is no list             |
      | a text as public            | routes[0].public   | neither true nor false |
      | a prefix that is a list     | routes[0]          | the prefix is no text  |
      | weights of zero             | routes[0]          | must be positive       |
      | no closing brace            |                    | line                   |

  Scenario Outline: What has no effect or contradicts itself is a warning
    When a configuration with <fault> is checked
    Then the check exits with 1
    And the check reports a warning at "<place>" with "<text>"

    Examples:
      | fault                          | place       | text                                |
      | a route twice                  | routes[6]   | never matches: route once (routes[0]) |
      | a route twice in capitals      | routes[6]   | never matches: route once (routes[0]) |
      | a prefix without a slash       | routes[1]   | does not begin with a slash         |
      | a route to an unknown service  | routes[1]   | there is no service nowhere         |
      | a service without a route      | services[2] | no route leads to it                |
      | a service twice                | services[0] | has no effect here                  |
      | an account without keys        | tenants[1]  | has no keys                         |
      | one key of two accounts        | tenants[1]  | takes a key from account acme       |
      | a target over the time limit   | routes[0]   | beyond the time limit               |
      | a pause over the time limit    | routes[4]   | beyond the time limit               |
      | attempts that are never made   | routes[0]   | sent again only if                  |
      | attempts over the retry budget | routes[1]   | more than the retry budget          |
      | answers larger than an engine  | services[1] | can never have memory               |
      | engines without slots          | services[1] | no engine has room                  |

  Scenario: A configuration is compared with the version in force
    When a configuration is checked against the version in force
    Then the check exits with 0
    And the check reports the changes
      | change                                              |
      | version: 1 becomes 2                                |
      | route look (shop.example/look/) is removed          |
      | route extra (shop.example/extra/) is added, to ledger (weight 1) |
      | route once: time limit 4 s becomes 3 s              |
      | route once: longest pause 4 s becomes 3 s           |
      | service models, engine: slots 8 becomes 4           |
      | account acme: 1 keys are added                      |
      | account acme: 1 keys are removed                    |
    And the check prints no API key

  Scenario: A version that does not rise changes nothing
    When the version in force is checked against itself
    Then the check exits with 1
    And the check reports a warning at "version" with "changes nothing"

  Scenario Outline: A document of the product's own form is checked as well
    When a document with <fault> is checked
    Then the check exits with <status>
    And the check reports a <severity> at "<place>" with "<text>"

    Examples:
      | fault                            | status | severity | place            | text                  |
      | an unknown key                   | 2      | error    | routes[0].nokey  | not permitted         |
      | a route to a missing pool        | 2      | error    |                  | no pool               |
      | a selector without an endpoint   | 1      | warning  | pools[0]         | matches no endpoint   |
      | an output beyond all engines     | 1      | warning  | routes[0]        | can never have memory |
      | a zone without endpoints         | 1      | warning  | zones[3]         | has no endpoints      |

  Scenario: A file of no known form is refused
    When a file of another form is checked
    Then the check exits with 2
    And the check reports an error at "" with "no known configuration"

  Scenario: Entries accept what the check passes
    Then the property "checked_configuration" holds

  Scenario: Entries accept the documents that the check passes
    Then the property "checked_document" holds

  @platform
  Scenario: A configuration is compared with what an entry has in force
    When the configuration in force with another time limit is checked at the entry
    Then the check exits with 0
    And the check reports the changes
      | change                                 |
      | version: 2 becomes 3                   |
      | route tell: attempts 2 becomes 1       |
      | route once: time limit 4 s becomes 3 s |
      | route once: longest pause 4 s becomes 3 s |

  @platform
  Scenario: A service without endpoints is known from the entry
    Given the store lists no endpoint of "models"
    When the configuration in force with another time limit is checked at the entry
    Then the check exits with 1
    And the check reports a warning at "services[1]" with "has no endpoints"

  @platform
  Scenario: An entry that does not answer is said so
    When a configuration is checked at an entry that does not run
    Then the check exits with 3
