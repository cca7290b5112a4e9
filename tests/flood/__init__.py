"""The memory of real host processes while others send without an end."""
