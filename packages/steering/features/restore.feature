Feature: Records of a store that was restored from a copy
  Versions are written as era/version.

  Background:
    Given a registry with target "t" at 1/10 with record 4

  Scenario Outline: An older or equal record of a running target is ignored
    When "t" gets record <record> at 2/5, <state>
    Then that row is "<effect>", and "t" is <result>

    Examples:
      | record | state    | effect   | result   |
      | 3      | ready    | outdated | ready    |
      | 4      | ready    | outdated | ready    |
      | 5      | ready    | none     | ready    |
      | 5      | draining | changed  | draining |
      | 3      | draining | outdated | ready    |

  Scenario: A drain is not taken back by an older record, and a later row of the same era is applied
    When "t" gets record 5 at 1/11, draining
    And "t" gets record 4 at 2/5, ready
    Then that row is "outdated", and "t" is draining
    When "t" gets record 6 at 2/6, draining
    Then that row is "none", and "t" is draining

  Scenario Outline: Without numbered records a drain is never taken back
    Given a registry with target "t" at 1/10 with record 0
    When "t" gets record 0 at 1/11, <before>
    And "t" gets record 0 at 2/5, <restored>
    Then that row is "<effect>", and "t" is draining

    Examples:
      | before   | restored | effect   |
      | draining | ready    | outdated |
      | ready    | draining | changed  |

  Scenario: A record of an ended target is held back for 5 s and then believed
    When "t" is removed at 1/11
    And "t" gets record 4 at 2/5, ready
    Then that row is "held", and "t" is unknown
    And "t" is unknown after 4.9 s and ready after 5 s

  Scenario: A held record is dropped when the restored store removes it
    When "t" is removed at 1/11
    And "t" gets record 4 at 2/5, ready
    And "t" is removed at 2/6
    Then "t" is unknown after 6 s

  Scenario: An ended target that registers again is used at once
    When "t" is removed at 1/11
    And "t" gets record 4 at 2/5, ready
    And "t" gets record 7 at 2/6, ready
    Then that row is "added", and "t" is ready

  Scenario: An earlier incarnation doesn't replace a later one
    When another incarnation of "t" registers at 1/11
    And "t" gets record 4 at 2/5, ready
    Then that row is "outdated", and "t" is the later incarnation

  Scenario: Versions of a later era are higher, however small they are
    Then 2/1 is higher than 1/1000000, and 1/2 is higher than 1/1
    And a version that can't be told from others is rejected
