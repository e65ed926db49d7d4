Feature: HTTP between hosts, callers and upstreams
  The server and the client of the workspace over loopback connections, with input that is split,
  damaged, too large, too slow or cut off. One bad connection never affects another one.

  Scenario Outline: A request is answered with the status that its form deserves
    Given an HTTP server that echoes bodies
    When the raw request "<request>" is sent
    Then the responses have the statuses "<statuses>"
    And the server has <state> the connection
    And another connection is still answered

    Examples: Accepted
      | request                    | statuses | state  |
      | with a length              | 200      | kept   |
      | without a body             | 200      | kept   |
      | in chunks                  | 200      | kept   |
      | in chunks with a trailer   | 200      | kept   |
      | two in one segment         | 200 200  | kept   |
      | three of which one is bad  | 200 400  | closed |
      | expecting 100-continue     | 100 200  | kept   |
      | of HTTP/1.0                | 200      | closed |
      | of HTTP/1.0 to be kept     | 200      | closed |
      | with connection close      | 200      | closed |
      | asking for an upgrade      | 200      | closed |

    Examples: Refused
      | request                    | statuses | state  |
      | with two lengths           | 400      | closed |
      | with a length and chunks   | 400      | closed |
      | with a negative length     | 400      | closed |
      | with a length of text      | 400      | closed |
      | with a bad chunk size      | 400      | closed |
      | with an unknown encoding   | 400      | closed |
      | without a host             | 400      | closed |
      | with two hosts             | 400      | closed |
      | with a space in a name     | 400      | closed |
      | with a folded header       | 400      | closed |
      | with a NUL in a value      | 400      | closed |
      | with a large head          | 400      | closed |
      | with a large unended head  | 400      | closed |
      | with a large target        | 400      | closed |
      | with a large body          | 413      | closed |
      | with large chunks          | 413      | closed |
      | of HTTP/2 by preface       | 400      | closed |
      | of another protocol        | 400      | closed |

  Scenario: Trailers don't pass for headers
    Given an HTTP server that echoes the names of headers
    When the raw request "in chunks with a trailer" is sent
    Then the response lists "host transfer-encoding"

  Scenario: Requests are read alike however they are split into segments
    Given an HTTP server that echoes bodies
    Then a series of requests gets the same responses with any split points

  Scenario: Arbitrary and damaged bytes never stop the server
    Given an HTTP server that echoes bodies
    Then arbitrary bytes and damaged requests leave the server answering

  Scenario Outline: Slow clients are disconnected
    # A timeout that started anew with each byte let a client hold a connection for as long as it liked.
    Given an HTTP server that echoes bodies
    When a client <behaviour>
    Then the server disconnects it within its limits

    Examples:
      | behaviour                         |
      | sends nothing                     |
      | sends a head byte by byte         |
      | sends a body byte by byte         |
      | sends nothing after its response  |

  Scenario: The handler of a client that disconnects is cancelled
    Given an HTTP server whose handler never returns
    When a client sends a request and disconnects
    Then the handler is cancelled
    And the server counts no active request

  Scenario: A handler that fails is answered with 500 and stops nothing else
    # An unexpected error in the handler of one request ended the whole process.
    Given an HTTP server whose handler fails
    When the raw request "with a length" is sent
    Then the responses have the statuses "500"
    And the failure is reported with the request's method and path
    And the server still listens

  Scenario Outline: A client returns the response that its peer sends
    Given a peer that responds with "<response>"
    When two requests are sent to it
    Then both exchanges return status <status> with body "<body>"
    And the peer has seen <count> connections

    Examples:
      | response                  | status | body  | count |
      | a length                  | 200    | hello | 1     |
      | chunks                    | 200    | hello | 1     |
      | split segments            | 200    | hello | 1     |
      | 100 before it             | 200    | hello | 1     |
      | no body and 204           | 204    |       | 1     |
      | connection close          | 200    | hello | 2     |
      | HTTP/1.0                  | 200    | hello | 2     |
      | an end by disconnection   | 200    | hello | 2     |
      | bytes after it            | 200    | hello | 2     |
      | a second response after it | 200   | hello | 2     |

  Scenario Outline: A client reports an exchange without a complete response
    Given a peer that responds with "<response>"
    When a request is sent to it
    Then the exchange has failed at "receive" and may have run

    Examples:
      | response                 |
      | two lengths              |
      | a truncated body         |
      | a truncated head         |
      | a switch of protocols    |
      | arbitrary bytes          |
      | a large head             |
      | a large body             |
      | nothing                  |

  Scenario: Responses are read alike however they are split into segments
    Then a response gets through with any split points

  Scenario: A request that can't be encoded is not sent
    # A value from the store that holds a line break would otherwise add a header or a request.
    Then requests with a line break in target, header name or value fail at "connect"
