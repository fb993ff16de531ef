"""Generates TLS certificates for tests."""

import datetime
import ipaddress
import pathlib
from typing import NamedTuple

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid


class Files(NamedTuple):
    """Paths of PEM files."""

    ca_file: str
    certificate_file: str
    key_file: str


class Authority:
    """A certificate authority that writes its files to one directory."""

    def __init__(self, directory: pathlib.Path, name: str = "ca") -> None:
        self._directory = directory
        self._name = name
        self._key = ec.generate_private_key(ec.SECP256R1())
        certificate = self._sign(name, self._key, is_ca=True)
        self.ca_file = directory / f"{name}.pem"
        self.ca_file.write_bytes(_pem(certificate))

    def issue(self, name: str, *, ip: str = "127.0.0.1") -> Files:
        """Issues a certificate for an IP address."""
        key = ec.generate_private_key(ec.SECP256R1())
        stem = self._directory / f"{self._name}-{name}"
        certificate_file = stem.with_suffix(".crt")
        key_file = stem.with_suffix(".key")
        certificate_file.write_bytes(_pem(self._sign(name, key, ip=ip)))
        key_file.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return Files(str(self.ca_file), str(certificate_file), str(key_file))

    def _sign(
        self,
        name: str,
        key: ec.EllipticCurvePrivateKey,
        *,
        ip: str = "127.0.0.1",
        is_ca: bool = False,
    ) -> x509.Certificate:
        now = datetime.datetime.now(datetime.UTC)
        address = x509.IPAddress(ipaddress.ip_address(ip))
        return (
            x509.CertificateBuilder()
            .subject_name(_subject(name))
            .issuer_name(_subject(self._name))
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - datetime.timedelta(hours=1))
            .not_valid_after(now + datetime.timedelta(days=1))
            .add_extension(
                x509.BasicConstraints(ca=is_ca, path_length=None), critical=True
            )
            .add_extension(x509.SubjectAlternativeName([address]), False)
            .sign(self._key, hashes.SHA256())
        )


def _subject(name: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, name)])


def _pem(certificate: x509.Certificate) -> bytes:
    return certificate.public_bytes(serialization.Encoding.PEM)
