Feature: Configuration checks
  Each problem names the file, the line, the field and what was expected.

  Scenario Outline: An invalid fleet document is refused with the field at fault
    When a fleet document has <change>
    Then the problem is at field "<field>" and contains "<expected>"

    Examples:
      | change                     | field                   | expected                       |
      | an exception with no reason | exceptions.0.reason    | a reason for the board's report |
      | a move above its cap       | moves.0.steps.1         | at most capShare               |
      | a move with descending steps | moves.0.steps.1       | ascending steps                |
      | an unknown data centre     | services.0.targets.0.dataCentre | not a dataCentre       |
      | an unknown field           |                         | Unrecognized key               |
      | text instead of a number   | defaults.timeoutMillis  | expected number                |
      | a target given twice       | services.0.targets.1.id | given twice                    |

  Scenario: A malformed line of client blocks is reported with its own line
    When client blocks have a line without a site after a comment and a blank line
    Then the problem names line 4 and expects "CIDR SITE"

  Scenario: A problem is reported with the line of its field
    When a fleet document with a bad slot count on line 14 is parsed
    Then the problem names line 14

  Scenario: Malformed YAML is reported as a problem of the document
    When a document with an unclosed bracket is parsed
    Then a problem of the whole document is reported

  Scenario: Settings require IP addresses and long secrets
    When settings use a host name and a short token
    Then both fields are reported

  Scenario: Exceptions apply only until their last day and only to matching requests
    Given an exception for member "m1" until "2023-11-14" with bulk share 0.9
    Then on that day member "m1" has bulk share 0.9 and member "m2" has the default 0.34
    And two days later member "m1" has the default bulk share 0.34
