"""Host whose connections to some addresses go through links of the fault-injecting proxy.

Run it with ``python -m fireflybridge_standins.linked_host``. Other hosts still know it by its own
address, so each pair of hosts can have a link and faults of its own.
"""

LINKS_VARIABLE = "FIREFLYBRIDGE_STANDIN_LINKS"
"""Environment variable with a JSON object: the link's ``ip:port`` for each address."""
