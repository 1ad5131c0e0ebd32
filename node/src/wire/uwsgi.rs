//! uwsgi
