"""The fireflybridge command-line tool."""
