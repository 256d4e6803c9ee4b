"""Keep the state of one host on disk: write-ahead log, snapshots, identity.

``files`` reads and writes the files of one folder, ``store`` keeps the replicated log
in them. Import the modules separately: a control host reads its files before it loads
the replicated log.
"""
