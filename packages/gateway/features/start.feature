Feature: A start goes on until the entry serves
  What a start waits for is in the log. Only an error that doesn't pass ends the process.

  Scenario Outline: A start waits for an address that another program uses for a moment
    Given a store with a route of each kind
    And an entry "e1" whose address for <listener> another program uses
    Then the log names that address as one that the start waits for
    When the other program ends
    Then "e1" is ready within 1 s

    Examples:
      | listener  |
      | callers   |
      | readiness |
      | directory |
      | state     |
      | peers     |

  Scenario Outline: A start waits for an address that is a name no one can resolve yet
    Given a store with a route of each kind
    And an entry "e1" whose address for <listener> names an unknown host
    Then the log says that the start waits for "<listener>", and why
    And a stop of "e1" is over within 1200 ms

    Examples:
      | listener  |
      | callers   |
      | directory |
      | peers     |

  Scenario: An entry that waits for an address stops within its grace period
    Given a store with a route of each kind
    And an entry "e1" whose address for callers another program uses
    Then the log names that address as one that the start waits for
    And a stop of "e1" is over within 1200 ms

  Scenario: An entry that can't serve logs what it lacks
    Given a store without a configuration
    And an entry "e1" that waits for its state
    Then the log says within 3 s that "e1" waits for "configuration"

  Scenario: Failed attempts to listen leave no handlers behind
    Given a server that could not listen for 3 attempts
    When accepting a connection fails twice
    Then each failure is in the log once

  Scenario: A second error of an open listener doesn't end the process
    Given an open readiness listener
    When accepting a connection fails twice
    Then each failure is in the log once
    And the listener answers 200
