Feature: Answers as callers read them

  Scenario: A streamed answer that breaks off doesn't look complete to a caller of HTTP/1.0
    When an answer breaks off while it is streamed to a caller of HTTP/1.0
    Then that caller's connection was reset
