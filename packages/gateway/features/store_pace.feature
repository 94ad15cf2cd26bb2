Feature: An entry bounds how often it calls the store
  The calls of all entries together are limited, and each of them takes processor time.

  Scenario Outline: A store that doesn't hold its watches is not called in a loop
    Given an entry that follows a store whose watches end at once with <result>
    Then it starts at most 9 watches of a table in 2 s

    Examples:
      | result     |
      | no changes |
      | a gap      |

  Scenario: A watch that the store held is followed by the next one at once
    Given an entry that follows a store that holds each watch for 400 ms
    Then the shortest time between two watches is below 100 ms after 5 of them

  Scenario: A gap after a watch that the store held delays neither the read nor the next watch
    Given an entry that follows a store that holds each watch for 400 ms and then has a gap
    Then the shortest time between two watches is below 100 ms after 5 of them

  Scenario: Gaps in a row are logged once
    Given an entry that follows a store whose watches end at once with a gap
    When the store has history again after 3 gaps
    Then the log has 1 line "history_gap" and 1 line "history_regained"

  Scenario: Stale answers in a row are logged once
    Given an entry that follows a store whose watches end at once with a gap
    When the store gives 3 reads of an older version
    Then the log has 1 line "stale_read" and 0 lines "history_regained"
