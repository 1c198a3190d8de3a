"""stub to be replaced"""
