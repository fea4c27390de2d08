Feature: callers

  # Guards against requests that count as broken off by their endpoint, and end
  # as "may have run", because no client can send their path or header.
  Scenario Outline: callers request with <path> and <header> reaches its endpoint
    Then callers a request with <path> and header <header> arrives as it was sent

    Examples:
      | path            | header |
      | /a%20b          | x      |
      | /caf%C3%A9      | x      |
      | /a%3Fb%23c      | x      |
      | /a%25b?c=%20d&e | x      |
      | /a:b@c;d=e      | x      |
      | /a%0D%0Ab       | x      |
      | /a              | café   |
