"""Keep the state of one host on disk: write-ahead log, snapshots, identity.

``files`` has the files of one folder, ``store`` what the replicated log keeps there.
They are imported apart: a control host reads its files before it loads the log.
"""
