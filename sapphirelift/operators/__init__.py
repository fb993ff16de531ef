"""Interfaces for operators: command-line tool and admin port."""
