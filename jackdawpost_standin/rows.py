"""Rows of a database, stored in SQLite in memory.

A committed SQLite database serves reads. A primary has a second, writable
one, which executes transactions before they are committed.
"""

from __future__ import annotations

import sqlite3
import time
from collections.abc import Sequence
from typing import Any

from jackdawpost.errors import JackdawpostError
from jackdawpost_standin.log import Record
from jackdawpost_standin.log import Result

MS_PER_SECOND = 1_000

# Leaves room in a frame of 1 MiB for column names and other fields.
MAX_RESULT_BYTES = 900_000
# Maximum encoded size of a number or of the header of a text.
CELL_OVERHEAD_BYTES = 9

# SQLite instructions between two checks of the deadline of a statement.
DEADLINE_CHECK_INSTRUCTIONS = 50_000

STATEMENT_CACHE_SIZE = 512

# Replicas execute the statements of the log again, and the results of these
# functions would differ.
_NONDETERMINISTIC = frozenset(
    {
        'random',
        'randomblob',
        'current_time',
        'current_date',
        'current_timestamp',
        'last_insert_rowid',
        'total_changes',
    }
)
# Statements must not control transactions, attached files or the connection;
# only this module does.
_DENIED_ACTIONS = frozenset(
    {
        sqlite3.SQLITE_TRANSACTION,
        sqlite3.SQLITE_SAVEPOINT,
        sqlite3.SQLITE_ATTACH,
        sqlite3.SQLITE_DETACH,
        sqlite3.SQLITE_PRAGMA,
    }
)
_READ_ACTIONS = frozenset(
    {
        sqlite3.SQLITE_SELECT,
        sqlite3.SQLITE_READ,
        sqlite3.SQLITE_FUNCTION,
        sqlite3.SQLITE_RECURSIVE,
    }
)
# The authorizer is not called for a statement in the statement cache. The
# comment keeps the transaction statements of this module apart from equal
# statements of callers in the cache. `run` refuses the exact texts.
_BEGIN = 'BEGIN /* engine */'
_COMMIT = 'COMMIT /* engine */'
_ROLLBACK = 'ROLLBACK /* engine */'
_SAVEPOINT = 'SAVEPOINT engine_statement'
_ROLLBACK_TO = 'ROLLBACK TO engine_statement'
_RELEASE = 'RELEASE engine_statement'
_INTERNAL_STATEMENTS = frozenset(
    {_BEGIN, _COMMIT, _ROLLBACK, _SAVEPOINT, _ROLLBACK_TO, _RELEASE}
)
_PARAM_TYPES = frozenset({str, int, float, bytes, bool, type(None)})
_STATEMENT_ERRORS = (
    sqlite3.Error,
    sqlite3.Warning,
    OverflowError,
    ValueError,
    TypeError,
)


class StatementError(JackdawpostError):
    """A statement failed without any change."""


class StatementTimeoutError(StatementError):
    """A statement exceeded its timeout without any change."""


class SqliteDatabase:
    """In-memory SQLite database that checks statements before it runs them.

    Parameters
    ----------
    deterministic : bool
        Whether functions whose results differ between replicas are refused.
    """

    def __init__(self, deterministic: bool) -> None:
        self._conn = sqlite3.connect(
            ':memory:',
            isolation_level=None,
            cached_statements=STATEMENT_CACHE_SIZE,
            check_same_thread=False,
        )
        self._deterministic = deterministic
        self._is_internal = False
        self._actions: set[int] = set()
        self._read_only: dict[str, bool] = {}
        self._deadline = 0.0
        self._conn.set_authorizer(self._authorize)
        self._conn.set_progress_handler(
            self._is_past_deadline, DEADLINE_CHECK_INSTRUCTIONS
        )

    def close(self) -> None:
        """Release the memory."""
        self._conn.close()

    def copy_rows_from(self, other: SqliteDatabase) -> None:
        """Replace all rows by those of another database."""
        self._deadline = 0.0
        other._deadline = 0.0
        other._conn.backup(self._conn)

    def execute_internal(self, sql: str) -> None:
        """Run a transaction statement of this module."""
        self._is_internal = True
        try:
            self._conn.execute(sql)
        finally:
            self._is_internal = False

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""
        return self._conn.in_transaction

    def run(
        self,
        sql: str,
        params: Sequence[Any] | None,
        deadline: float = 0.0,
    ) -> Result:
        """Run one statement and fetch all rows.

        Parameters
        ----------
        sql : str
            Statement text.
        params : sequence, optional
            Positional parameters.
        deadline : float
            Time of ``time.monotonic()`` in seconds at which the statement is
            interrupted; 0 for no deadline.

        Raises
        ------
        StatementError
            The statement failed without any change, except that a RETURNING
            result that is too large is refused after the rows have changed.
        """
        if sql in _INTERNAL_STATEMENTS:
            raise StatementError(
                'statement is not authorized: expected txn_begin, txn_commit '
                'or txn_rollback to control a transaction'
            )
        if params:
            _check_params(params)
        self._deadline = deadline
        try:
            cursor = self._conn.execute(sql, params or ())
            if cursor.description is None:
                return Result(row_count=max(cursor.rowcount, 0))
            rows = [list(row) for row in cursor.fetchall()]
        except sqlite3.OperationalError as exc:
            if str(exc) == 'interrupted':
                raise StatementTimeoutError(
                    'statement exceeded its timeout_ms'
                ) from exc
            raise StatementError(str(exc)) from exc
        except _STATEMENT_ERRORS as exc:
            raise StatementError(str(exc)) from exc
        _check_size(rows)
        columns = [column[0] for column in cursor.description]
        return Result(columns, rows, len(rows))

    def is_read_only(self, sql: str, params: Sequence[Any] | None) -> bool:
        """Return whether a statement only reads.

        Raises
        ------
        StatementError
            The statement cannot be prepared.
        """
        if sql[:6].upper() == 'SELECT':
            return True
        read_only = self._read_only.get(sql)
        if read_only is None:
            # The number makes the text new. The authorizer is called for the
            # actions of a text that is not in the statement cache.
            self._actions.clear()
            number = len(self._read_only)
            self.run(f'EXPLAIN /* {number} */ {sql}', params)
            read_only = bool(self._actions) and self._actions <= _READ_ACTIONS
            self._read_only[sql] = read_only
        return read_only

    def _authorize(
        self,
        action: int,
        _arg1: str | None,
        arg2: str | None,
        _database: str | None,
        _trigger: str | None,
    ) -> int:
        if self._is_internal:
            return sqlite3.SQLITE_OK
        self._actions.add(action)
        if action in _DENIED_ACTIONS:
            return sqlite3.SQLITE_DENY
        if (
            self._deterministic
            and action == sqlite3.SQLITE_FUNCTION
            and arg2 is not None
            and arg2.lower() in _NONDETERMINISTIC
        ):
            return sqlite3.SQLITE_DENY
        return sqlite3.SQLITE_OK

    def _is_past_deadline(self) -> bool:
        return 0.0 < self._deadline < time.monotonic()


def _check_params(params: Sequence[Any]) -> None:
    for value in params:
        if type(value) not in _PARAM_TYPES:
            raise StatementError(
                f'parameter is of type {type(value).__name__}: expected text, '
                'a number, bytes or null'
            )


def _check_size(rows: list[list[Any]]) -> None:
    size = 0
    for row in rows:
        for cell in row:
            size += CELL_OVERHEAD_BYTES
            if type(cell) is bytes:
                size += len(cell)
            elif type(cell) is str:
                size += len(cell) if cell.isascii() else len(cell.encode())
    if size > MAX_RESULT_BYTES:
        raise StatementError(
            f'result too large: got {size} bytes, expected at most '
            f'{MAX_RESULT_BYTES}'
        )


class RowStore:
    """Rows of a replicated database, in one or two SQLite databases.

    Reads use the committed database, to which whole transactions are applied.
    A primary runs writes on a second, writable database first. Reads therefore
    never wait for an open transaction.
    """

    def __init__(self) -> None:
        self._committed = SqliteDatabase(deterministic=False)
        self._writable: SqliteDatabase | None = None
        self.apply_failures = 0

    def clear(self) -> None:
        """Remove all rows, so that the log can be applied from its start."""
        self.stop_leading()
        self._committed.close()
        self._committed = SqliteDatabase(deterministic=False)

    def start_leading(self) -> None:
        """Create the writable database from the committed rows."""
        self.stop_leading()
        self._writable = SqliteDatabase(deterministic=True)
        self._writable.copy_rows_from(self._committed)

    def stop_leading(self) -> None:
        """Drop the writable database together with an open transaction."""
        if self._writable is not None:
            self._writable.close()
            self._writable = None

    def apply(self, records: Sequence[Record]) -> None:
        """Apply committed transactions to the rows that reads see."""
        database = self._committed
        for record in records:
            self._apply_record(database, record)

    def _apply_record(self, database: SqliteDatabase, record: Record) -> None:
        try:
            if not record.statements:
                return
            if len(record.statements) == 1:
                database.run(*record.statements[0])
                return
            database.execute_internal(_BEGIN)
            for sql, params in record.statements:
                database.run(sql, params)
            database.execute_internal(_COMMIT)
        except StatementError:
            # The statement succeeded on the primary, so the rows differ here.
            self.apply_failures += 1
            if database.in_transaction:
                database.execute_internal(_ROLLBACK)

    def read(
        self, sql: str, params: Sequence[Any] | None, deadline: float
    ) -> Result:
        """Run a read on the committed rows."""
        database = self._committed
        if not database.is_read_only(sql, params):
            raise StatementError(
                "statement with access 'read' writes: expected access 'write'"
            )
        return database.run(sql, params, deadline)

    def write(
        self, sql: str, params: Sequence[Any] | None, deadline: float
    ) -> Result:
        """Run a write on the primary, alone or in the open transaction."""
        database = self._require_writable()
        if 'RETURNING' not in sql.upper():
            return database.run(sql, params, deadline)
        # A result that is too large is refused after the rows have changed,
        # so the change must be rolled back.
        database.execute_internal(_SAVEPOINT)
        try:
            result = database.run(sql, params, deadline)
        except StatementError:
            if database.in_transaction:
                database.execute_internal(_ROLLBACK_TO)
                database.execute_internal(_RELEASE)
            raise
        database.execute_internal(_RELEASE)
        return result

    def read_in_txn(
        self, sql: str, params: Sequence[Any] | None, deadline: float
    ) -> Result:
        """Run a read in the open transaction."""
        database = self._require_writable()
        if not database.is_read_only(sql, params):
            raise StatementError(
                "statement with access 'read' writes: expected access 'write'"
            )
        return database.run(sql, params, deadline)

    def begin(self) -> None:
        """Open a transaction on the writable database."""
        self._require_writable().execute_internal(_BEGIN)

    def commit(self) -> None:
        """Commit the open transaction."""
        self._require_writable().execute_internal(_COMMIT)

    def rollback(self) -> None:
        """Roll back the open transaction if there is one."""
        database = self._writable
        if database is not None and database.in_transaction:
            database.execute_internal(_ROLLBACK)

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open on the writable database."""
        return self._writable is not None and self._writable.in_transaction

    def _require_writable(self) -> SqliteDatabase:
        if self._writable is None:
            raise StatementError(
                'this database is not the primary of its group'
            )
        return self._writable
