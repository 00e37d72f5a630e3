Feature: Checks that need no running fleet

  Scenario: Selectors match the labels that the cases state
    Then every case in case file "selectors" holds

  Scenario: All invalid keys of a settings file are reported together
    Then every case in case file "settings" holds

  Scenario: The documented table of result codes equals the one in the code
    Then docs/RESULT-CODES.md contains the table of the module codes
    And the hundreds digit of every code matches the certainty in its row

  Scenario: A VM that leaves moves only its own roles
    Then for any list of VMs the removal of a VM moves only its own roles

  Scenario: The version of the document in force never decreases
    Then for any order of documents the version in force never decreases

  Scenario: Events are parsed for any chunking of the stream
    Then for any chunking of a response the caller receives the same text
    And an event of another request, attempt or offset is refused

  Scenario: The config commands check and compare configurations
    Then "config schema" prints the schema of the configuration
    And "config check" refuses a document whose routes name a missing pool
    And "config diff" shows which route loses an endpoint
