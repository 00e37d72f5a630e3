Feature: What is checked before anything runs

  Scenario: Selectors take and refuse as the cases say
    Then every case of "selectors" holds

  Scenario: Settings name every fault at once
    Then every case of "settings" holds

  Scenario: The documented table of result codes is the module's
    Then docs/RESULT-CODES.md holds the table of the module
    And every code has a row whose hundreds agree with its certainty

  Scenario: Ranks move only what belonged to a VM that leaves
    Then for any list of VMs a leaving VM moves only its own roles

  Scenario: Acceptance never lets a version fall
    Then for any order of documents the version in force only rises

  Scenario: Events are cut apart wherever they are split
    Then for any split of an answer the caller gets the same bytes
    And another request's or attempt's event is refused

  Scenario: The schema and the checks of configurations agree
    Then "config schema" prints the schema of the configuration
    And "config check" refuses a document that names no such pool
    And "config diff" tells which route loses an endpoint
