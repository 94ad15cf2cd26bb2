Feature: An entry bounds how often it calls the store
  The calls of all entries together are limited, and each of them takes processor time.

  Scenario Outline: A store that ends its watches at once with <result> is not called in a loop
    Given an entry that follows a store whose watches end at once with <result>
    Then it starts at most 9 watches of a table in 2 s

    Examples:
      | result     |
      | no changes |
      | a gap      |
