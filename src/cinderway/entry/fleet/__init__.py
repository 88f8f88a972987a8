"""The entry's communication with control, with assessors and with other entries."""
